/** PostgreSQL wire protocol version 3: messages and statements. */
package dillfront.router.pgwire;
