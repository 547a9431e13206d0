/**
 * The data plane: clients' sessions on pooled connections to database servers. Begin with {@link
 * dillfront.dataplane.DataPlaneNode} and {@link dillfront.dataplane.ClientSession}.
 */
package dillfront.dataplane;
