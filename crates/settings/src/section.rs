//! Accessors for optional sections.

use crate::{
    LimitSettings, ListenSettings, LogSettings, PlatformSettings, SecuritySettings, Settings,
    StopSettings,
};

impl Settings {
    /// Returns the section `listen`, or its defaults if it is absent.
    #[must_use]
    pub fn listen(&self) -> ListenSettings {
        self.listen.clone().unwrap_or_default()
    }

    /// Returns the section `limits`, or its defaults if it is absent.
    #[must_use]
    pub fn limits(&self) -> LimitSettings {
        self.limits.clone().unwrap_or_default()
    }

    /// Returns the section `log`, or its defaults if it is absent.
    #[must_use]
    pub fn log(&self) -> LogSettings {
        self.log.clone().unwrap_or_default()
    }

    /// Returns the section `platform`, or its defaults if it is absent.
    #[must_use]
    pub fn platform(&self) -> PlatformSettings {
        self.platform.clone().unwrap_or_default()
    }

    /// Returns the section `security`, or its defaults if it is absent.
    #[must_use]
    pub fn security(&self) -> SecuritySettings {
        self.security.clone().unwrap_or_default()
    }

    /// Returns the section `stop`, or its defaults if it is absent.
    #[must_use]
    pub fn stop(&self) -> StopSettings {
        self.stop.clone().unwrap_or_default()
    }
}
