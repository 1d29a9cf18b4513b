//! Command line of the real binary: configuration files, subcommands and exit codes.

mod common;

use std::fs;

use common::{run, stderr, stdout, test_dir};

fn write_file(text: &str) -> String {
    let path = test_dir().join("file.json");
    fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

#[test]
fn the_example_files_pass_the_check() {
    for name in ["tyrehub-node", "partsbook-node"] {
        let output = run(&["check", &format!("examples/{name}.json")]);
        assert!(output.status.success(), "{}", stderr(&output));
    }
    for name in ["tyrehub-fleet", "partsbook-fleet"] {
        let output = run(&["check", "--fleet", &format!("examples/{name}.json")]);
        assert!(output.status.success(), "{}", stderr(&output));
    }
}

#[test]
fn all_errors_of_a_settings_file_are_reported_together() {
    let path = write_file(
        r#"{
  "node": "no/slash",
  "zone": "a",
  "listen": { "callers": "127.0.0.1:1", "operators": "nowhere", "peers": "127.0.0.1:2" },
  "platform": { "store": "http://127.0.0.1:3" },
  "timing": { "lease_ms": 5, "hartbeat_ms": 500 }
}"#,
    );
    let output = run(&["check", &path]);
    assert_eq!(output.status.code(), Some(3));
    let errors = stderr(&output);
    for part in [
        ":2:11: field `node`: `no/slash` is not a node name",
        ":4:54: field `listen.operators`: `nowhere` is not an IP address and port, such as",
        ":5:15: field `platform.hosts`: it must be given",
        "field `timing.lease_ms`: found 5; a whole number from 2000 to 120000 is allowed",
        "field `timing.hartbeat_ms`: there is no such field; did you mean `heartbeat_ms`?",
    ] {
        assert!(errors.contains(part), "missing {part} in:\n{errors}");
    }
    assert_eq!(errors.lines().count(), 5, "{errors}");
}

#[test]
fn invalid_json_is_reported_with_its_position() {
    let output = run(&["check", &write_file("{\n  \"node\": entry\n}")]);
    assert_eq!(output.status.code(), Some(3));
    assert!(stderr(&output).contains(":2:"), "{}", stderr(&output));
    let output = run(&["check", "/nowhere/at/all.json"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(stderr(&output).contains("cannot be read"), "{}", stderr(&output));
}

#[test]
fn a_duplicate_field_is_rejected() {
    let output = run(&["check", "--fleet", &write_file(r#"{"pools": {}, "pools": {}}"#)]);
    assert_eq!(output.status.code(), Some(3));
    assert!(stderr(&output).contains("it is given twice"), "{}", stderr(&output));
}

#[test]
fn errors_in_a_fleet_file_name_the_field() {
    let path = write_file(
        r#"{"pools": {"a": {"hosts": 0}},
            "services": {"s": {"pool": "a", "team": "t", "tasks": 3, "cores_m": 1,
                               "memory_mb": 1, "max_down": 1, "class": "slow", "surge": 1}}}"#,
    );
    let output = run(&["check", "--fleet", &path]);
    assert_eq!(output.status.code(), Some(3));
    let errors = stderr(&output);
    for part in [
        "field `pools.a.hosts`: found 0; a whole number from 1 to 100000 is allowed",
        "field `services.s.class`: `slow` is not a class: urgent, normal or batch are allowed",
        "field `services.s.surge`: found 1; true or false is allowed",
    ] {
        assert!(errors.contains(part), "missing {part} in:\n{errors}");
    }
}

#[test]
fn invalid_commands_and_options_exit_with_2() {
    for arguments in [
        &["serv"][..],
        &["status", "everything"],
        &["intent", "drain", "--reason", "x"],
        &["intent", "drain", "--host", "no/slash", "--reason", "x"],
        &["plan", "confirm", "p-1"],
        &["demo", "--seed", "one"],
    ] {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {}", stderr(&output));
        assert!(!stderr(&output).is_empty());
    }
}

#[test]
fn an_unreachable_node_exits_with_5() {
    // No test listens on port 1 of the loopback interface.
    let output = run(&["status", "--node", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(5));
    assert!(stderr(&output).contains("node 127.0.0.1:1, status:"), "{}", stderr(&output));
}

#[test]
fn help_and_completions_are_printed() {
    let output = run(&["--help"]);
    assert!(output.status.success());
    assert!(stdout(&output).contains("Exit codes"));
    let output = run(&["completions", "bash"]);
    assert!(output.status.success());
    assert!(stdout(&output).contains("caperhollow"));
}
