# Compile options and the functions by which each folder declares its module.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE Release)
endif()
find_program(CCACHE ccache)
if(CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE})
endif()

find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS log json thread)
find_package(prometheus-cpp REQUIRED)
if(BORAGECROFT_TESTS)
  find_package(rapidcheck REQUIRED)
  find_package(GTest REQUIRED)
endif()

add_library(boragecroft_options INTERFACE)
target_compile_options(boragecroft_options INTERFACE -Wall -Wextra -Werror -Wshadow -Wnon-virtual-dtor -Wno-missing-field-initializers -g1 -fno-omit-frame-pointer)
target_compile_definitions(boragecroft_options INTERFACE BOOST_LOG_DYN_LINK BOOST_ASIO_NO_DEPRECATED)
target_include_directories(boragecroft_options INTERFACE ${CMAKE_SOURCE_DIR})
target_link_libraries(boragecroft_options INTERFACE Threads::Threads)

# boragecroft_module(NAME SOURCES ... DEPS ...): a library of one module.
function(boragecroft_module name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPS" ${ARGN})
  add_library(boragecroft_${name} STATIC ${arg_SOURCES})
  target_link_libraries(boragecroft_${name} PUBLIC boragecroft_options ${arg_DEPS})
endfunction()

# boragecroft_program(NAME SOURCES ... DEPS ...): an executable in build/bin.
function(boragecroft_program name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE boragecroft_options ${arg_DEPS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# boragecroft_test(NAME SOURCES ... DEPS ...): a test program run by CTest with a fixed seed for RapidCheck.
function(boragecroft_test name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPS" ${ARGN})
  boragecroft_program(${name} SOURCES ${arg_SOURCES} DEPS ${arg_DEPS} GTest::gtest GTest::gtest_main rapidcheck)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=$ENV{BORAGECROFT_RC_PARAMS} seed=20261204")
endfunction()
