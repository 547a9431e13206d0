/** An interpreter for the operator's file, a subset of Starlark with bounded run time. */
package dillfront.router.script;
