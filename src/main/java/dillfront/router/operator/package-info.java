/** The operator's file: gossip, access policy and recovery settings of a router. */
package dillfront.router.operator;
