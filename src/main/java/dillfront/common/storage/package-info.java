/**
 * Texts on a disk that survive the end of the process and of power. Begin with {@link
 * dillfront.common.storage.KeyValueStore}.
 */
package dillfront.common.storage;
