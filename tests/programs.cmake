# Sources of the stand-ins that their unit tests use, and tests that run whole programs.
target_sources(pistachiohub_tests PRIVATE
  standins/answer.cpp
  standins/http_server.cpp
  standins/backend_server/backend_server.cpp
  standins/object_store/store.cpp)
set_source_files_properties(
  standins/answer.cpp standins/http_server.cpp
  standins/backend_server/backend_server.cpp standins/object_store/store.cpp
  PROPERTIES SKIP_PRECOMPILE_HEADERS ON)

set_source_files_properties(tests/standins/deployment_test.cpp PROPERTIES
  COMPILE_DEFINITIONS PISTACHIOHUB_SOURCE_DIR="${CMAKE_SOURCE_DIR}" SKIP_PRECOMPILE_HEADERS ON)

find_package(Python3 REQUIRED COMPONENTS Interpreter)
add_test(NAME check_history
  COMMAND ${Python3_EXECUTABLE} ${CMAKE_SOURCE_DIR}/tests/check_history_test.py)
set_tests_properties(check_history PROPERTIES TIMEOUT 120)

if(NOT PISTACHIOHUB_SANITIZE)
  add_test(NAME operations_page
    COMMAND ${Python3_EXECUTABLE} ${CMAKE_SOURCE_DIR}/tests/operations_page_test.py ${CMAKE_BINARY_DIR})
  set_tests_properties(operations_page PROPERTIES TIMEOUT 120 RUN_SERIAL TRUE)
endif()
