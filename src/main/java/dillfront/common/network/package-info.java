/** Addresses, and channels on an event loop. */
package dillfront.common.network;
