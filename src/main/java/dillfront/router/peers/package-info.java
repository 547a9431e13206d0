/** Gossip over UDP: keys, datagrams, and what joins it to the decisions. */
package dillfront.router.peers;
