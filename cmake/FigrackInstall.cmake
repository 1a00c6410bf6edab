# What `cmake --install` puts in place beside the binaries (cmd/CMakeLists.txt): units, pages,
# samples, and the coordination library as figrack::coord for others to embed.
include(CMakePackageConfigHelpers)

install(FILES packaging/figrack-router.service packaging/figrack-control.service
  DESTINATION lib/systemd/system)
install(DIRECTORY docs/ DESTINATION ${CMAKE_INSTALL_DOCDIR})
install(DIRECTORY conf/ DESTINATION ${CMAKE_INSTALL_DOCDIR}/samples)

install(TARGETS figrack_easylogging figrack_core figrack_coord EXPORT figrackTargets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
foreach(package core coord)
  install(DIRECTORY ${package} DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/figrack
    FILES_MATCHING PATTERN "*.h" PATTERN testing EXCLUDE)
endforeach()
set(config_dir ${CMAKE_INSTALL_LIBDIR}/cmake/figrack)
install(EXPORT figrackTargets NAMESPACE figrack:: DESTINATION ${config_dir})
configure_package_config_file(cmake/figrackConfig.cmake.in
  ${CMAKE_CURRENT_BINARY_DIR}/figrackConfig.cmake INSTALL_DESTINATION ${config_dir})
write_basic_package_version_file(${CMAKE_CURRENT_BINARY_DIR}/figrackConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/figrackConfig.cmake
  ${CMAKE_CURRENT_BINARY_DIR}/figrackConfigVersion.cmake DESTINATION ${config_dir})

# The install tree is proved by a project that knows nothing of this one.
add_test(NAME outside COMMAND ${CMAKE_COMMAND}
  -DBUILD_DIR=${CMAKE_CURRENT_BINARY_DIR} -DSOURCE_DIR=${CMAKE_CURRENT_SOURCE_DIR}/testing/outside
  -P ${CMAKE_CURRENT_SOURCE_DIR}/testing/outside/run.cmake)
