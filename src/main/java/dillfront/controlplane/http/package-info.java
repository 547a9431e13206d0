/**
 * The HTTP API for database servers and operators. The entry point is {@link
 * dillfront.controlplane.http.ControlHttpApi}.
 */
package dillfront.controlplane.http;
