# Build rules shared by all folders. A library NAME is made of src/NAME/*.cpp,
# its test program NAME_test of test/NAME/*_test.cpp; either may be absent.

set(cicadaport_sanitizer_flags "")
if(CICADAPORT_ASAN)
  set(cicadaport_sanitizer_flags -fsanitize=address,undefined -fno-omit-frame-pointer)
elseif(CICADAPORT_TSAN)
  set(cicadaport_sanitizer_flags -fsanitize=thread)
  add_compile_definitions(BOOST_ASIO_DISABLE_FENCED_BLOCK)
endif()
if(CICADAPORT_FUZZ)
  if(NOT CMAKE_CXX_COMPILER_ID STREQUAL "Clang")
    message(FATAL_ERROR "CICADAPORT_FUZZ needs -DCMAKE_CXX_COMPILER=clang++-14")
  endif()
  set(cicadaport_sanitizer_flags -fsanitize=address,undefined -fno-sanitize-recover=undefined
    -fno-omit-frame-pointer)
  add_compile_options(-fsanitize=fuzzer-no-link)
endif()
add_compile_options(${cicadaport_sanitizer_flags})
add_link_options(${cicadaport_sanitizer_flags})

add_compile_definitions(
  BOOST_ASIO_NO_DEPRECATED SPDLOG_FMT_EXTERNAL BOOST_BEAST_USE_STD_STRING_VIEW)

# One precompiled header for the slow third-party headers.
file(WRITE ${CMAKE_BINARY_DIR}/pch_anchor.cpp "")
add_library(cicadaport_pch OBJECT ${CMAKE_BINARY_DIR}/pch_anchor.cpp)
target_precompile_headers(cicadaport_pch PRIVATE <precompiled.h>)
target_include_directories(cicadaport_pch PRIVATE ${CMAKE_SOURCE_DIR}/src)
find_package(Threads REQUIRED)
target_link_libraries(cicadaport_pch PRIVATE Threads::Threads)
# Lets the compiler cache handle units that use the precompiled header.
add_compile_options($<$<CXX_COMPILER_ID:GNU>:-fpch-preprocess>)
set(cicadaport_warnings -Wall -Wextra -Wpedantic -Wshadow -Werror
  # g++ 12 reports members of coroutine frames that it cannot follow.
  -Wno-maybe-uninitialized)
if(CICADAPORT_FUZZ)
  # The warnings are those of g++; what clang finds is checked by its linter.
  set(cicadaport_warnings -w)
endif()
target_compile_options(cicadaport_pch PRIVATE ${cicadaport_warnings})

# The messages between hosts alone, without those of the other processes.
function(cicadaport_news)
  add_library(protocol STATIC ${CMAKE_SOURCE_DIR}/protocol/generated/news.pb.cc)
  target_include_directories(protocol SYSTEM PUBLIC ${CMAKE_SOURCE_DIR}/protocol/generated)
  target_link_libraries(protocol PUBLIC protobuf::libprotobuf-lite)
endfunction()

function(cicadaport_protocol)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/protocol/generated/*.pb.cc)
  add_library(protocol STATIC ${sources})
  target_include_directories(protocol SYSTEM PUBLIC ${CMAKE_SOURCE_DIR}/protocol/generated)
  target_link_libraries(protocol PUBLIC protobuf::libprotobuf)
endfunction()

function(cicadaport_options target)
  target_compile_options(${target} PRIVATE ${cicadaport_warnings})
  target_include_directories(${target} PUBLIC ${CMAKE_SOURCE_DIR}/include)
  target_precompile_headers(${target} REUSE_FROM cicadaport_pch)
endfunction()

# Libraries whose test programs run in parts, and in how many.
set(cicadaport_parts_authority 3)
set(cicadaport_parts_scenario 2)
set(cicadaport_parts_platform 3)

function(cicadaport_library name)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${name}/*.cpp)
  if(CICADAPORT_FUZZ)
    # Units with coroutines, which the fuzz targets don't use: clang 14 can't compile them with
    # sanitizers ("Cannot represent a difference across sections").
    list(FILTER sources EXCLUDE REGEX "src/http/(client|server)\\.cpp$")
  endif()
  file(GLOB_RECURSE tests CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/${name}/*_test.cpp)
  if(sources)
    add_library(${name} STATIC ${sources})
    cicadaport_options(${name})
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/src/${name})
    target_link_libraries(${name} PUBLIC Threads::Threads ${ARGN})
  else()
    add_library(${name} INTERFACE)
    target_include_directories(${name} INTERFACE ${CMAKE_SOURCE_DIR}/include)
    target_link_libraries(${name} INTERFACE Threads::Threads ${ARGN})
  endif()
  if(tests AND NOT CICADAPORT_HOST_ONLY)
    add_executable(${name}_test ${tests})
    cicadaport_options(${name}_test)
    target_include_directories(${name}_test PRIVATE ${CMAKE_SOURCE_DIR}/src/${name} ${CMAKE_SOURCE_DIR}/test)
    target_link_libraries(${name}_test PRIVATE ${name} GTest::gmock_main)
    set(parts 1)
    if(DEFINED cicadaport_parts_${name})
      set(parts ${cicadaport_parts_${name}})
    endif()
    cicadaport_test(${name} ${parts})
  endif()
endfunction()

set(cicadaport_test_environment
  "CICADAPORT_ROOT=${CMAKE_SOURCE_DIR};CICADAPORT_BIN=${CMAKE_BINARY_DIR}/bin")

# Registers the test program of library NAME, in as many parts that may run at
# the same time as said.
function(cicadaport_test name parts)
  foreach(part RANGE 1 ${parts})
    set(test ${name}_test)
    if(parts GREATER 1)
      set(test ${name}_test_${part}_of_${parts})
    endif()
    math(EXPR index "${part} - 1")
    add_test(NAME ${test} COMMAND ${name}_test)
    set_tests_properties(${test} PROPERTIES TIMEOUT 300 ENVIRONMENT
      "${cicadaport_test_environment};GTEST_TOTAL_SHARDS=${parts};GTEST_SHARD_INDEX=${index}")
  endforeach()
endfunction()

# A small binary: programs/NAME/main.cpp, built as cicadaport-NAME.
function(cicadaport_program name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/programs/${name}/*.cpp)
  string(REPLACE "_" "-" dashed ${name})
  add_executable(cicadaport-${dashed} ${sources})
  cicadaport_options(cicadaport-${dashed})
  target_link_libraries(cicadaport-${dashed} PRIVATE ${ARGN})
  set_target_properties(cicadaport-${dashed} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# A program that measures: bench/NAME.cpp, built as bin/bench_NAME and run by
# the script bench/NAME.
function(cicadaport_bench name)
  add_executable(bench_${name} ${CMAKE_SOURCE_DIR}/bench/${name}.cpp)
  cicadaport_options(bench_${name})
  target_link_libraries(bench_${name} PRIVATE ${ARGN} benchmark::benchmark)
  set_target_properties(bench_${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# The adapter to the users' platform: the folder platform/, its tests in
# test/platform.
function(cicadaport_platform)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/platform/*.cpp)
  add_library(platform STATIC ${sources})
  cicadaport_options(platform)
  target_include_directories(platform PUBLIC ${CMAKE_SOURCE_DIR})
  target_link_libraries(platform PUBLIC serving sodium spdlog::spdlog
    PRIVATE tomlplusplus::tomlplusplus)
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/platform/*_test.cpp)
  if(tests AND NOT CICADAPORT_HOST_ONLY)
    add_executable(platform_test ${tests})
    cicadaport_options(platform_test)
    target_include_directories(platform_test PRIVATE ${CMAKE_SOURCE_DIR}/test)
    target_include_directories(platform_test PRIVATE ${CMAKE_SOURCE_DIR})
    target_link_libraries(platform_test PRIVATE platform GTest::gmock_main)
    cicadaport_test(platform ${cicadaport_parts_platform})
    cicadaport_platform_soak()
    cicadaport_memory_test()
    cicadaport_untrusted_clients_test()
  endif()
endfunction()

# Tests that measure the peak memory of their process, without other tests in it.
function(cicadaport_memory_test)
  add_executable(memory_test ${CMAKE_SOURCE_DIR}/test/platform/memory/memory_test.cpp)
  cicadaport_options(memory_test)
  target_include_directories(memory_test PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/test)
  target_link_libraries(memory_test PRIVATE platform GTest::gmock_main)
  cicadaport_test(memory 1)
endfunction()

# Untrusted clients before the host program. Runs alone, because it measures the memory of a process
# that is under load.
function(cicadaport_untrusted_clients_test)
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/platform/untrusted/*_test.cpp)
  add_executable(untrusted_clients_test ${tests})
  cicadaport_options(untrusted_clients_test)
  target_include_directories(untrusted_clients_test PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/test)
  target_link_libraries(untrusted_clients_test PRIVATE scenario platform GTest::gmock_main)
  add_dependencies(untrusted_clients_test cicadaport-host)
  cicadaport_test(untrusted_clients 1)
  set_tests_properties(untrusted_clients_test PROPERTIES RUN_SERIAL TRUE)
endfunction()

# Real host processes before a stand-in store, under troubles; a short run is
# one of the tests.
function(cicadaport_platform_soak)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/platform/soak/*.cpp)
  add_executable(cicadaport-host-soak ${sources})
  cicadaport_options(cicadaport-host-soak)
  target_include_directories(cicadaport-host-soak PRIVATE ${CMAKE_SOURCE_DIR}/test)
  target_link_libraries(cicadaport-host-soak PRIVATE scenario platform)
  set_target_properties(cicadaport-host-soak PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  add_test(NAME host_soak COMMAND cicadaport-host-soak --host $<TARGET_FILE:cicadaport-host>
    --folder ${CMAKE_BINARY_DIR}/host-soak --seed 1 --seconds 40)
  set_tests_properties(host_soak PROPERTIES TIMEOUT 120)
  add_test(NAME host_soak_returns COMMAND cicadaport-host-soak --host $<TARGET_FILE:cicadaport-host>
    --folder ${CMAKE_BINARY_DIR}/host-soak-returns --shape returns --seed 1 --seconds 25)
  set_tests_properties(host_soak_returns PROPERTIES TIMEOUT 120)
endfunction()

# The process that is deployed. Libraries of which it uses nothing are not
# loaded: each would cost start-up time and memory on every host.
function(cicadaport_host_program)
  cicadaport_program(host platform telemetry)
  target_include_directories(cicadaport-host PRIVATE ${CMAKE_SOURCE_DIR})
  target_link_options(cicadaport-host PRIVATE -Wl,--as-needed)
endfunction()

# Fuzz targets: test/fuzz/NAME_fuzz.cpp, built as bin/NAME_fuzz.
function(cicadaport_fuzz name)
  add_executable(${name}_fuzz ${CMAKE_SOURCE_DIR}/test/fuzz/${name}_fuzz.cpp)
  cicadaport_options(${name}_fuzz)
  target_include_directories(${name}_fuzz PRIVATE ${CMAKE_SOURCE_DIR})
  target_link_libraries(${name}_fuzz PRIVATE ${ARGN})
  target_link_options(${name}_fuzz PRIVATE -fsanitize=fuzzer)
  set_target_properties(${name}_fuzz PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
