package dillfront.bootstrap;

import dillfront.common.config.NodeSettings;

/** Source of the settings, read at start and again on SIGHUP. */
public interface SettingsSource {

    /**
     * Reads the current settings.
     *
     * @throws NodeSettings.InvalidSettingsException with the file, the place and the error
     */
    NodeSettings read() throws NodeSettings.InvalidSettingsException;
}
