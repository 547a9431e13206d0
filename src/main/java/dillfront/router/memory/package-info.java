/** State that a router keeps on disk across restarts. */
package dillfront.router.memory;
