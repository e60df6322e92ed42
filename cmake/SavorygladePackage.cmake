# Helpers that declare one library, one test program or one executable per package.

# Declares the static library savoryglade_<name> from every .cc file of packages/<name>.
# Files named *_main.cc belong to executables and are left out.
function(savoryglade_package name)
  cmake_parse_arguments(ARG "PRECOMPILE_ASIO" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/packages/${name}/*.cc
       ${CMAKE_SOURCE_DIR}/packages/${name}/generated/*.cc)
  list(FILTER sources EXCLUDE REGEX "_main\\.cc$")
  if(sources)
    add_library(savoryglade_${name} STATIC ${sources})
    target_include_directories(savoryglade_${name} PUBLIC ${CMAKE_SOURCE_DIR}/packages)
    target_compile_options(savoryglade_${name} PRIVATE ${SAVORYGLADE_WARNINGS})
    target_link_libraries(savoryglade_${name} PUBLIC ${ARG_DEPENDS})
    if(ARG_PRECOMPILE_ASIO)
      target_precompile_headers(savoryglade_${name} PRIVATE ${CMAKE_SOURCE_DIR}/packages/boost_impl/asio_precompiled.h)
    endif()
  else()
    add_library(savoryglade_${name} INTERFACE)
    target_include_directories(savoryglade_${name} INTERFACE ${CMAKE_SOURCE_DIR}/packages)
    target_link_libraries(savoryglade_${name} INTERFACE ${ARG_DEPENDS})
  endif()
endfunction()

# Declares the test program <name>_test from every *_test.cc file of tests/<name>.
function(savoryglade_test name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${name}/*.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(${name}_test ${sources})
  target_include_directories(${name}_test PRIVATE ${CMAKE_SOURCE_DIR})
  target_compile_options(${name}_test PRIVATE ${SAVORYGLADE_WARNINGS})
  target_compile_definitions(${name}_test PRIVATE SAVORYGLADE_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  if(TARGET savoryglade_${name})
    target_link_libraries(${name}_test PRIVATE savoryglade_${name})
  endif()
  target_link_libraries(${name}_test PRIVATE ${ARG_DEPENDS} GTest::gtest GTest::gmock
                                             GTest::gtest_main)
  add_test(NAME ${name}_test COMMAND ${name}_test)
  set_tests_properties(${name}_test PROPERTIES TIMEOUT 300)
endfunction()

set(SAVORYGLADE_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wno-missing-field-initializers)
