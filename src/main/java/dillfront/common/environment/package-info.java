/**
 * Clock, timers, connections, random numbers and event log of a program. Begin with {@link
 * dillfront.common.environment.Environment}.
 */
package dillfront.common.environment;
