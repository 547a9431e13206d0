/**
 * What a program needs of the machine it runs on. Begin with {@link
 * dillfront.common.environment.Environment}.
 */
package dillfront.common.environment;
