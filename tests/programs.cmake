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
  add_test(NAME log_reader_that_ends_leaves_the_daemon_running
    COMMAND ${Python3_EXECUTABLE} ${CMAKE_SOURCE_DIR}/tests/log_reader_test.py ${CMAKE_BINARY_DIR})
  set_tests_properties(log_reader_that_ends_leaves_the_daemon_running PROPERTIES TIMEOUT 60)
  # Crowds of hostile connections against one daemon; its memory is meaningful only without sanitizers.
  function(add_hostile_tests listener)
    foreach(kind ${ARGN})
      add_test(NAME hostile_${listener}_${kind}
        COMMAND ${Python3_EXECUTABLE} ${CMAKE_SOURCE_DIR}/tests/hostile/hostile_test.py ${CMAKE_BINARY_DIR}
          ${listener} ${kind})
      set_tests_properties(hostile_${listener}_${kind} PROPERTIES
        RUN_SERIAL TRUE RESOURCE_LOCK hostile LABELS hostile TIMEOUT 600)
    endforeach()
  endfunction()
  foreach(listener callers directory readiness metrics relay front admin)
    add_hostile_tests(${listener} endless_trailers large_trailer trailers_without_end endless_heads
      endless_extensions chunks_of_one_byte slow_bodies pipelined_requests pipelined_heads
      idle_connections partial_heads)
  endforeach()
  add_hostile_tests(peer endless_heads peer_messages peer_documents peer_handshakes idle_connections)
  add_test(NAME operations_page
    COMMAND ${Python3_EXECUTABLE} ${CMAKE_SOURCE_DIR}/tests/operations_page_test.py ${CMAKE_BINARY_DIR})
  set_tests_properties(operations_page PROPERTIES TIMEOUT 120 RUN_SERIAL TRUE)
endif()

# Runs of separate processes. meta/demo starts the programs of build/release, so only this build runs them.
# The base ports lie below the usual range of ephemeral ports.
if(NOT PISTACHIOHUB_SANITIZE AND CMAKE_BINARY_DIR STREQUAL "${CMAKE_SOURCE_DIR}/build/release")
  function(add_demo_test name base_port)
    add_test(NAME demo_${name}
      COMMAND ${Python3_EXECUTABLE} ${CMAKE_SOURCE_DIR}/meta/demo --no-build --base-port ${base_port} ${ARGN})
    set_tests_properties(demo_${name} PROPERTIES RUN_SERIAL TRUE TIMEOUT 120)
  endfunction()
  add_demo_test(bokgava 30000 --deployment bokgava --seconds 5)
  add_demo_test(teranga 30200 --deployment teranga --seconds 5)
  add_demo_test(kill 30400 --kill gotaland-1-a --seconds 5)
  add_demo_test(freeze 30600 --fault freeze --seconds 2)
  add_demo_test(store_outage 30800 --fault store-outage --seconds 2)
  add_demo_test(slow_store 31000 --fault slow-store --seconds 2)
  add_demo_test(lost_answers 31200 --fault lost-answers --seconds 2)
  add_demo_test(crashing_request 31400 --fault crashing-request --seconds 2)
  add_demo_test(rolling 31600 --fault rolling --seconds 2)
  add_demo_test(burst 31800 --fault burst --seconds 2)
  add_test(NAME demo_platform
    COMMAND ${Python3_EXECUTABLE} ${CMAKE_SOURCE_DIR}/meta/demo-platform --base-port 32400)
  set_tests_properties(demo_platform PROPERTIES RUN_SERIAL TRUE TIMEOUT 120)
  add_test(NAME demo_platform_restart
    COMMAND ${Python3_EXECUTABLE} ${CMAKE_SOURCE_DIR}/meta/demo-platform --kill-all --base-port 32500)
  set_tests_properties(demo_platform_restart PROPERTIES RUN_SERIAL TRUE TIMEOUT 60)
  add_test(NAME demo_platform_restored
    COMMAND ${Python3_EXECUTABLE} ${CMAKE_SOURCE_DIR}/meta/demo-platform --restore --base-port 32600)
  set_tests_properties(demo_platform_restored PROPERTIES RUN_SERIAL TRUE TIMEOUT 60)
  add_test(NAME demo_platform_customers
    COMMAND ${Python3_EXECUTABLE} ${CMAKE_SOURCE_DIR}/meta/demo-platform --customers --base-port 32300)
  set_tests_properties(demo_platform_customers PROPERTIES RUN_SERIAL TRUE TIMEOUT 60)
  add_test(NAME soak
    COMMAND ${Python3_EXECUTABLE} ${CMAKE_SOURCE_DIR}/soak/soak --seed 1 --seconds 8 --base-port 32700)
  set_tests_properties(soak PROPERTIES RUN_SERIAL TRUE TIMEOUT 60)
endif()
