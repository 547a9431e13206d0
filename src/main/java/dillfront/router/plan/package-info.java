/** Load distribution after the loss of sites. Without I/O. */
package dillfront.router.plan;
