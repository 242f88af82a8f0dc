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
