/** Detection of lost sites from a router's own observations. Without I/O. */
package dillfront.router.site;
