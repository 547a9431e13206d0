/** Gossip between routers: membership, updates, and what others' claims are worth. Without I/O. */
package dillfront.router.gossip;
