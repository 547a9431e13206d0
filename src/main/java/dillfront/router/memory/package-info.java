/** What a router keeps on disk for its next incarnation. */
package dillfront.router.memory;
