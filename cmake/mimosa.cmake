# Helper targets and functions for the CMake lists of the directories.

# Compile flags of hand-written code: warnings are errors. Generated code does
# not use them.
add_library(mimosa_flags INTERFACE)
target_compile_options(mimosa_flags INTERFACE -Wall -Wextra -Werror
                                              -Wnon-virtual-dtor)
target_include_directories(mimosa_flags INTERFACE ${CMAKE_SOURCE_DIR})

# Links libraries whose headers would cause warnings under mimosa_flags; their
# headers are included as system headers.
function(mimosa_link target)
  target_link_libraries(${target} PUBLIC ${ARGN})
endfunction()

# Adds a unit test program:
#   mimosa_test(name SOURCES sources... LIBS libs... [TIMEOUT seconds])
# All its Catch2 cases run as one ctest test, whose output names those that have
# ended, in case that it times out. Does nothing in builds of mimosa-entry alone.
function(mimosa_test name)
endfunction()
if(MIMOSA_ONLY_ENTRY)
  return()
endif()
add_library(mimosa_catch_main STATIC ${CMAKE_SOURCE_DIR}/tests/catch_main.cc)
target_link_libraries(mimosa_catch_main PUBLIC mimosa_flags PkgConfig::CATCH2
                                               trompeloeil::trompeloeil)
function(mimosa_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;LIBS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 300)
  endif()
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE mimosa_catch_main ${ARG_LIBS})
  add_test(NAME ${name} COMMAND ${name} --durations yes)
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
