# Functions that define the libraries, tests and tools of the project.

# monsoondock_add_library(NAME [LINKS target...])
# Builds the static library monsoondock_NAME from the .cpp files of the current
# folder except tests, fuzz targets and benchmarks, and exports it as
# monsoondock::NAME.
function(monsoondock_add_library name)
    cmake_parse_arguments(ARG "" "" "LINKS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    list(FILTER sources EXCLUDE REGEX "_test\\.cpp$|_fuzz\\.cpp$|_bench\\.cpp$")
    add_library(monsoondock_${name} STATIC ${sources})
    add_library(monsoondock::${name} ALIAS monsoondock_${name})
    set_target_properties(monsoondock_${name} PROPERTIES EXPORT_NAME ${name})
    target_include_directories(
        monsoondock_${name}
        PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src/include>
               $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
    target_link_libraries(monsoondock_${name} PUBLIC ${ARG_LINKS})
    install(TARGETS monsoondock_${name} EXPORT monsoondock-targets)
endfunction()

# monsoondock_add_test(NAME [LINKS target...])
# Builds one Criterion program from the *_test.cpp files of the current folder.
function(monsoondock_add_test name)
    cmake_parse_arguments(ARG "" "" "LINKS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*_test.cpp)
    add_executable(${name}_test ${sources})
    target_link_libraries(
        ${name}_test PRIVATE monsoondock_${name} ${ARG_LINKS} criterion)
    add_test(NAME ${name} COMMAND ${name}_test --short-filename -j2)
endfunction()

# monsoondock_add_tool(NAME [LINKS target...])
# Builds an executable from the .cpp files of the current folder.
function(monsoondock_add_tool name)
    cmake_parse_arguments(ARG "" "" "LINKS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${name} PRIVATE ${ARG_LINKS})
    install(TARGETS ${name})
endfunction()
