/** The directory: configuration, backends and processes, replicated by the control processes. */
export * from './backend-registration.js';
export * from './directory-commands.js';
export * from './incarnation.js';
export { DirectoryClient } from './directory-client.js';
export {
  DirectoryLeader,
  type DirectoryLeaderOptions,
  WATCH_LONG_POLL_MS,
} from './directory-leader.js';
export { registerDirectoryService } from './directory-service.js';
export { DirectoryStateMachine, type RetirementState } from './directory-state-machine.js';
export { DirectoryWatcher, type DirectoryWatcherOptions } from './directory-watcher.js';
export * from './messages.js';
export { type BackendVersion, type ServiceVersions, versionKeyOf } from './service-versions.js';
export { unpackRoutes } from './packed-configuration.js';
