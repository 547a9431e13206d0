/**
 * Crash-safe storage of strings and numbers. The entry point is {@link
 * dillfront.common.storage.TextStore}.
 */
package dillfront.common.storage;
