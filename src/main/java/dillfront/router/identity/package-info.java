/** Authentication of sessions and authorization of transactions, without I/O. */
package dillfront.router.identity;
