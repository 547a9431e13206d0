package dillfront.bootstrap;

import dillfront.common.config.NodeSettings;

/** Reads the settings: at the start, and again on SIGHUP. */
public interface SettingsSource {

    /**
     * Reads them as they are now.
     *
     * @throws NodeSettings.InvalidSettingsException with the file, the place and the fault
     */
    NodeSettings read() throws NodeSettings.InvalidSettingsException;
}
