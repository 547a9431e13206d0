/** Gossip between routers: membership, updates, and the weight of peers' claims. Without I/O. */
package dillfront.router.gossip;
