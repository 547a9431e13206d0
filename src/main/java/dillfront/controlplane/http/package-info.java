/**
 * The HTTP calls of database servers and operators. Begin with {@link
 * dillfront.controlplane.http.ControlHttpApi}.
 */
package dillfront.controlplane.http;
