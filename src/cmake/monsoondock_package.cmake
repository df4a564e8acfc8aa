# Installs a CMake package so that other projects can embed the libraries with
# find_package(monsoondock) and link monsoondock::<library>.
include(CMakePackageConfigHelpers)
set(package_dir ${CMAKE_INSTALL_LIBDIR}/cmake/monsoondock)
install(
    EXPORT monsoondock-targets
    NAMESPACE monsoondock::
    DESTINATION ${package_dir})
configure_package_config_file(
    ${PROJECT_SOURCE_DIR}/src/cmake/monsoondock-config.cmake.in
    ${PROJECT_BINARY_DIR}/monsoondock-config.cmake
    INSTALL_DESTINATION ${package_dir})
write_basic_package_version_file(
    ${PROJECT_BINARY_DIR}/monsoondock-config-version.cmake
    COMPATIBILITY SameMinorVersion)
install(FILES ${PROJECT_BINARY_DIR}/monsoondock-config.cmake
              ${PROJECT_BINARY_DIR}/monsoondock-config-version.cmake
        DESTINATION ${package_dir})
