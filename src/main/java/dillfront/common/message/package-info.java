/**
 * Encoding of the messages between the system's own processes: MessagePack, compression and deltas.
 */
package dillfront.common.message;
