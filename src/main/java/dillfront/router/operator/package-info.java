/** The operator's own file. */
package dillfront.router.operator;
