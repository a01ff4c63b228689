set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

option(FULMARPOINT_WERROR "Treat warnings as errors" ON)
set(FULMARPOINT_SANITIZE "" CACHE STRING "Sanitizers to build with, e.g. address,undefined or thread")

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

# Builds the tests that run under the thread sanitizer.
add_custom_target(concurrent_tests)

find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS program_options)
find_package(prometheus-cpp REQUIRED)

# Sets warnings, the include root and sanitizers the same way for every target.
function(fulmarpoint_configure target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wno-missing-field-initializers)
  # GCC 12 gives a false positive where it inlines a coroutine's frame.
  target_compile_options(${target} PRIVATE -Wno-mismatched-new-delete)
  if(FULMARPOINT_WERROR)
    target_compile_options(${target} PRIVATE -Werror)
  endif()
  if(FULMARPOINT_SANITIZE)
    target_compile_options(${target} PRIVATE -fsanitize=${FULMARPOINT_SANITIZE} -fno-sanitize-recover=all
                                             -fno-omit-frame-pointer)
    # GCC 12 gives false positives in instrumented coroutines and libraries.
    target_compile_options(${target} PRIVATE -Wno-maybe-uninitialized
                                             -Wno-array-bounds -Wno-stringop-overflow)
    # Asio uses fences, which the thread sanitizer does not model; its queues are also locked.
    target_compile_options(${target} PRIVATE -Wno-tsan)
    target_link_options(${target} PRIVATE -fsanitize=${FULMARPOINT_SANITIZE})
  endif()
  target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/src/libs)
endfunction()

# fulmarpoint_library(NAME LINKS ...): a static library fulmarpoint_NAME of the folder's sources.
function(fulmarpoint_library name)
  cmake_parse_arguments(ARG "" "" "LINKS" ${ARGN})
  file(GLOB ARG_SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_library(fulmarpoint_${name} STATIC ${ARG_SOURCES})
  fulmarpoint_configure(fulmarpoint_${name})
  target_link_libraries(fulmarpoint_${name} PUBLIC ${ARG_LINKS} Threads::Threads)
endfunction()

# fulmarpoint_program(NAME LINKS ...): an executable NAME of the folder's sources, in the build's bin
# folder.
function(fulmarpoint_program name)
  cmake_parse_arguments(ARG "" "" "LINKS" ${ARGN})
  file(GLOB ARG_SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${name} ${ARG_SOURCES})
  fulmarpoint_configure(${name})
  target_link_libraries(${name} PRIVATE ${ARG_LINKS} Threads::Threads)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# fulmarpoint_test(NAME SOURCES ... LINKS ...): a Criterion test program registered with ctest.
# scripts/check fails when such a program reports that it ran no test.
function(fulmarpoint_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  fulmarpoint_configure(${name})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(${name} PRIVATE ${ARG_LINKS} criterion Threads::Threads)
  add_test(NAME ${name} COMMAND ${PROJECT_SOURCE_DIR}/scripts/run-criterion $<TARGET_FILE:${name}>)
  set_tests_properties(${name} PROPERTIES TIMEOUT 600)
endfunction()

# fulmarpoint_plain_test(NAME SOURCES ... LINKS ...): a test with its own main. Concurrent tests use
# it because Criterion runs no test under the thread sanitizer.
function(fulmarpoint_plain_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  fulmarpoint_configure(${name})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(${name} PRIVATE ${ARG_LINKS} Threads::Threads)
  add_dependencies(concurrent_tests ${name})
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300 LABELS concurrent)
endfunction()

# fulmarpoint_tests_in_folder(LINKS ...): a Criterion program for each tst_*.cpp and a plain test for
# each concurrent_*.cpp of the folder.
function(fulmarpoint_tests_in_folder)
  cmake_parse_arguments(ARG "" "" "LINKS" ${ARGN})
  file(GLOB criterion_sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tst_*.cpp)
  foreach(source ${criterion_sources})
    cmake_path(GET source STEM name)
    fulmarpoint_test(${name} SOURCES ${source} LINKS ${ARG_LINKS})
  endforeach()
  file(GLOB plain_sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/concurrent_*.cpp)
  foreach(source ${plain_sources})
    cmake_path(GET source STEM name)
    fulmarpoint_plain_test(${name} SOURCES ${source} LINKS ${ARG_LINKS})
  endforeach()
endfunction()

# Adds each subfolder that has a CMakeLists.txt.
function(fulmarpoint_add_subfolders)
  file(GLOB lists CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*/CMakeLists.txt)
  foreach(list ${lists})
    cmake_path(GET list PARENT_PATH folder)
    add_subdirectory(${folder})
  endforeach()
endfunction()
