/** The router in service (`serve`): its start, its end, and what drives the decisions. */
package dillfront.router;
