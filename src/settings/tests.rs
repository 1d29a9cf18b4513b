//! Tests of the settings.

use std::time::Duration;

use super::scheduler::{ZoneSettings, parse};

fn settings(zones: &str) -> Result<ZoneSettings, String> {
    let text = format!(
        r#"{{ "node": "n-1", "zone": "a", {zones}
            "listen": {{
              "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "metrics": "127.0.0.1:3"
            }},
            "platform": {{ "store": "127.0.0.1:4", "hosts": "127.0.0.1:5" }} }}"#
    );
    parse("node.json", &text).map(|settings| settings.zones).map_err(|error| error.to_string())
}

#[test]
fn zones_are_not_evacuated_nor_spread_over_unless_the_settings_say_so() {
    assert_eq!(settings(""), Ok(ZoneSettings::default()));
    let zones = r#""zones": { "evacuate_ms": 5000, "tolerated_losses": 1 },"#;
    let evacuation = Some(Duration::from_millis(5_000));
    assert_eq!(settings(zones), Ok(ZoneSettings { tolerated_losses: 1, evacuation }));
    let error = settings(r#""zones": { "tolerated_losses": -1 },"#).unwrap_err();
    assert!(error.contains("zones.tolerated_losses"), "{error}");
}

#[test]
fn the_limits_of_a_machine_are_read_and_checked() {
    let text = |limits: &str| {
        format!(
            r#"{{ "node": "n-1", "zone": "a", {limits}
                "listen": {{
                  "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "metrics": "127.0.0.1:3"
                }},
                "platform": {{ "store": "127.0.0.1:4", "hosts": "127.0.0.1:5" }} }}"#
        )
    };
    let limits = r#""limits": { "memory_mb": 160, "descriptors": 1000, "request_ms": 5000 },"#;
    let parsed = parse("node.json", &text(limits)).unwrap().limits;
    assert_eq!((parsed.memory.0, parsed.descriptors), (160, 1_000));
    assert_eq!(parsed.clients.request_time, Duration::from_secs(5));
    let default = parse("node.json", &text("")).unwrap().limits;
    assert_eq!((default.memory.0, default.descriptors), (256, 4_096));
    let error = parse("node.json", &text(r#""limits": { "memory_mb": 1 },"#)).unwrap_err();
    assert!(error.to_string().contains("limits.memory_mb"), "{error}");
}
