# mountflow_package(NAME SOURCES ... USES ...): a static library of one folder. USES names the packages and libraries
# that it may use; an include of any other package fails to link.
function(mountflow_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;USES" ${ARGN})
  add_library(mountflow_${name} STATIC ${ARG_SOURCES})
  target_include_directories(mountflow_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
  target_link_libraries(mountflow_${name} PUBLIC ${ARG_USES})
endfunction()

# mountflow_program(NAME SOURCE USES...): an installed program.
function(mountflow_program name source)
  add_executable(${name} ${source})
  target_link_libraries(${name} PRIVATE ${ARGN} CLI11::CLI11)
  install(TARGETS ${name} DESTINATION ${CMAKE_INSTALL_BINDIR})
endfunction()

# mountflow_test(LABEL SOURCE USES...): a test program named after its file. Recorded runs are in MOUNTFLOW_TEST_DATA.
function(mountflow_test label source)
  get_filename_component(name ${source} NAME_WE)
  add_executable(${name} ${source})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
  target_compile_definitions(${name} PRIVATE MOUNTFLOW_TEST_DATA="${PROJECT_SOURCE_DIR}/tests/data")
  target_link_libraries(${name} PRIVATE ${ARGN} GTest::gtest_main)
  set(timeout 600)
  if(label MATCHES "process|chaos")
    set(timeout 120)
  endif()
  # One seed: the same verdict every time. Other seeds are for longer runs by hand.
  gtest_discover_tests(${name} PROPERTIES LABELS ${label} TIMEOUT ${timeout} ENVIRONMENT "RC_PARAMS=seed=2026")
endfunction()
# mountflow_unit_test(SOURCE USES...): a test without sockets, which runs under the sanitizers too.
function(mountflow_unit_test source)
  mountflow_test(unit ${source} ${ARGN})
  get_filename_component(name ${source} NAME_WE)
  add_dependencies(unit_tests ${name})
endfunction()
# mountflow_process_test(LABEL SOURCE USES...): starts programs on loopback sockets.
function(mountflow_process_test label source)
  mountflow_test(${label} ${source} ${ARGN})
  get_filename_component(name ${source} NAME_WE)
  add_dependencies(${name} mountflowd mountflow-node mountflow-registry-standin mountflow-batch)
endfunction()

# mountflow_renamed_program(OLD NEW [INSTALL]): for one release the old name prints the new one to standard error and
# runs it with the same arguments.
function(mountflow_renamed_program old new)
  set(OLD_NAME ${old})
  set(NEW_NAME ${new})
  set(script ${CMAKE_RUNTIME_OUTPUT_DIRECTORY}/${old})
  configure_file(${PROJECT_SOURCE_DIR}/cmake/renamed_program.sh.in ${script} @ONLY
    FILE_PERMISSIONS OWNER_READ OWNER_WRITE OWNER_EXECUTE GROUP_READ GROUP_EXECUTE WORLD_READ WORLD_EXECUTE)
  if("INSTALL" IN_LIST ARGN)
    install(PROGRAMS ${script} DESTINATION ${CMAKE_INSTALL_BINDIR})
  endif()
  if(MOUNTFLOW_TESTS)
    add_test(NAME renamed_${old}
      COMMAND ${PROJECT_SOURCE_DIR}/tests/renamed_program_check.sh ${CMAKE_RUNTIME_OUTPUT_DIRECTORY} ${old} ${new})
  endif()
endfunction()
