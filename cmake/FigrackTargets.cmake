# Helpers that give every package the same shape: one static library, one test program.

# figrack_library(name SOURCES ... LINK ...): library figrack_<name>, alias figrack::<name>.
function(figrack_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_library(figrack_${name} STATIC ${ARG_SOURCES})
  add_library(figrack::${name} ALIAS figrack_${name})
  set_target_properties(figrack_${name} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(figrack_${name} PUBLIC
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/figrack>)
  target_link_libraries(figrack_${name} PUBLIC ${ARG_LINK})
endfunction()

# figrack_test(name SOURCES ... LINK ...): program figrack_<name>_test, run by CTest.
# The first source defines DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN.
function(figrack_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(figrack_${name}_test ${ARG_SOURCES})
  target_include_directories(figrack_${name}_test PRIVATE ${PROJECT_SOURCE_DIR})
  target_link_libraries(figrack_${name}_test PRIVATE ${ARG_LINK} doctest::doctest)
  add_test(NAME ${name} COMMAND figrack_${name}_test)
  # A program that ran no assertion passed nothing: a zero count is a failure.
  set_tests_properties(${name} PROPERTIES
    FAIL_REGULAR_EXPRESSION "assertions: +0 [|];test cases: +0 [|]" TIMEOUT 600)
endfunction()
