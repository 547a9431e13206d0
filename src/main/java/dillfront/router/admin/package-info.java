/** Status queries to a running router on loopback. */
package dillfront.router.admin;
