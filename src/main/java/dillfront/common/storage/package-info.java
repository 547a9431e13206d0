/**
 * Crash-safe storage of strings and numbers. The entry point is {@link
 * dillfront.common.storage.KeyValueStore}.
 */
package dillfront.common.storage;
