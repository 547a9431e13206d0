/** Sockets on one event loop, and addresses. */
package dillfront.common.network;
