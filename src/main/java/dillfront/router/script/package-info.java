/** The language of the operator's own file. */
package dillfront.router.script;
