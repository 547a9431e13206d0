/** Messages between the system's own processes: MessagePack, compression, deltas. */
package dillfront.common.message;
