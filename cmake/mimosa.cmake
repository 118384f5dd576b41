# Helpers that keep the directories' lists short.

# Warnings are errors in our own code, not in generated code.
add_library(mimosa_flags INTERFACE)
target_compile_options(mimosa_flags INTERFACE -Wall -Wextra -Werror
                                              -Wnon-virtual-dtor)
target_include_directories(mimosa_flags INTERFACE ${CMAKE_SOURCE_DIR})

# Includes libraries whose headers would not pass our warnings as system ones.
function(mimosa_link target)
  target_link_libraries(${target} PUBLIC ${ARGN})
endfunction()

# A unit test program: mimosa_test(name SOURCES... LIBS libs...). All its
# Catch2 cases run as one ctest entry.
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
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
