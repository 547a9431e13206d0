/** Gossip over UDP: keys, datagrams, and the connection with the routing decisions. */
package dillfront.router.peers;
