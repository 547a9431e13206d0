/** One object for each transaction, from its last byte until nothing of it is outstanding. */
package dillfront.router.exchange;
