//! Tests of the simulator's adapter with its real binary: replies to batches, and each kind of malformed
//! input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sandgw-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("a pipe");
    let text = input.to_owned();
    // The adapter may stop reading at malformed input, so a broken pipe does not fail the test.
    let writer = std::thread::spawn(move || drop(stdin.write_all(text.as_bytes())));
    let output = child.wait_with_output().expect("the adapter ends");
    writer.join().expect("the writer ends");
    output
}

const START: &str = r#"["START","balancer_0",5,{"discovery":"on_request","unknown":[1],"nInstances":2,"resolutionMs":4.0,
"lanes":[{"name":"a","semantics":"safe","aimMs":300.0,"worth":1.0},{"name":"b","semantics":"unsafe","aimMs":300.0}],
"limits":{"maxAttempts":3,"connectTimeoutMs":250.0}}]"#;
const LIST: &str = r#"["MEMBERSHIP","balancer_0",2,1,[[0,1,"k","10.0.0.1:80",null,1,"z"],[1,1.5,"k","10.0.0.2:80",0,1,"z"]]]"#;

fn start() -> String {
    format!("[\"ROUND\",1000.0,0]\n{}\n{LIST}\n[\"GO\"]\n", START.replace('\n', ""))
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("UTF-8")
}

fn request_event(id: u64, class: &str) -> String {
    format!(r#"["KNOCK","balancer_0",{id},null,null,0,2500.0,null,"{class}","user:{id}","extra"]"#)
}

#[test]
fn batches_are_answered_in_order_and_the_end_of_the_input_is_no_error() {
    let requests = format!("{}\n{}", request_event(697431238545860, "a"), request_event(8, "nobody-knows"));
    let input =
        format!("{}[\"ROUND\",1001.25,1]\n{requests}\n[\"GO\"]\n[\"ROUND\",1002.0,2]\n[\"GO\"]\n", start());
    let output = run(&input);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let out = text(&output.stdout);
    let lines: Vec<&str> = out.lines().collect();
    assert!(lines.contains(&r#"["TAIL","balancer_0",true]"#));
    assert!(
        lines.iter().any(|l| l.starts_with(r#"["DELIVER","balancer_0",697431238545860,"10.0.0."#)),
        "{out}"
    );
    // An unknown class is treated as unsafe: one attempt, up to just before the deadline.
    assert!(lines.iter().any(|l| l.starts_with(r#"["DELIVER","balancer_0",8,"#) && l.ends_with(",2492.0]")));
    let done: Vec<_> = lines.iter().filter(|l| l.starts_with("[\"FINISHED\"")).collect();
    assert_eq!(
        done,
        [r#"["FINISHED",0]"#, r#"["FINISHED",1]"#, r#"["FINISHED",2]"#].iter().collect::<Vec<_>>()
    );
}

#[test]
fn outcomes_lead_to_further_attempts_and_answers() {
    let round = |n: u32, lines: &str| format!("[\"ROUND\",{}.0,{n}]\n{lines}\n[\"GO\"]\n", 1000 + n);
    let ended = |server: &str, n: u32, reason: u32| {
        format!(r#"["CLOSED_ATTEMPT","balancer_0",8,"{server}",1.5,{n},{reason},false,{{"x0":0.5}}]"#)
    };
    let first = run(&(start() + &round(1, &request_event(8, "b"))));
    let out = text(&first.stdout);
    let at = if out.contains("10.0.0.1:80") {
        ["10.0.0.1:80", "10.0.0.2:80"]
    } else {
        ["10.0.0.2:80", "10.0.0.1:80"]
    };
    let events = [request_event(8, "b"), ended(at[0], 0, 50), ended(at[1], 1, 60)];
    let rounds: String = events.iter().zip(1..).map(|(e, n)| round(n, e)).collect();
    let timers = r#"["TICK_DUE","balancer_0",8]"#;
    let late = format!("[\"ROUND\",2493.0,9]\n{timers}\n[\"GO\"]\n");
    let out = text(&run(&(start() + &rounds + &late)).stdout);
    assert!(out.contains(&format!(r#"["DELIVER","balancer_0",8,"{}""#, at[1])), "{out}");
    // A request whose connection was dropped may have been executed. Its class is unsafe, so neither a
    // rejection nor a third attempt follows.
    assert!(out.contains(r#"["FAIL","balancer_0",8]"#), "{out}");
    assert_eq!(out.matches("DELIVER").count(), 2);
    assert!(!out.contains("NOT_NOW"));
}

#[test]
fn an_instance_restarts_within_a_batch_and_others_are_unaffected() {
    let other = |s: &str| s.replace("balancer_0", "balancer_1");
    let boot = start();
    let both = format!("{boot}{}", other(&boot).replace("1000.0,0", "1000.0,1"));
    let restart = START.replace('\n', "");
    let stop = "[\"SHUTDOWN\",\"balancer_0\"]";
    let events = [
        request_event(1, "a"),
        stop.into(),
        restart,
        LIST.into(),
        request_event(2, "a"),
        other(&request_event(3, "a")),
    ]
    .join("\n");
    let output = run(&format!("{both}[\"ROUND\",1001.0,2]\n{events}\n[\"GO\"]\n"));
    assert!(output.status.success(), "{}", text(&output.stderr));
    let out = text(&output.stdout);
    assert_eq!(out.matches("DELIVER").count(), 3, "{out}");
    assert!(out.contains(r#"["DELIVER","balancer_1",3,"#));
}

#[test]
fn a_large_batch_is_answered_whole() {
    let requests: String = (0..5000).map(|id| request_event(id, "a") + "\n").collect();
    let output = run(&format!("{}[\"ROUND\",1001.0,1]\n{requests}[\"GO\"]\n", start()));
    assert!(output.status.success());
    assert_eq!(text(&output.stdout).matches("DELIVER").count(), 5000);
}

#[test]
fn malformed_input_gets_a_one_line_error_and_no_partial_reply() {
    let round = |line: &str| format!("{}[\"ROUND\",1001.0,7]\n{line}\n[\"GO\"]\n", start());
    let cases = [
        (round("this is no JSON"), "round 7: not a JSON line"),
        (round("{}"), "round 7: a message must be an array"),
        (round("[]"), "round 7: a message must begin with its name"),
        (round(r#"["KNOCK","balancer_0",1]"#), "round 7: KNOCK has too few values"),
        (
            round(r#"["KNOCK","balancer_0","x",null,null,0,1.0,null,"a",null]"#),
            "value 2 must be a whole number",
        ),
        (round(&request_event(1, "a").replace("balancer_0", "balancer_9")), "round 7: KNOCK for balancer_9"),
        (round(r#"["WHISPER","balancer_0",1]"#), "round 7: unknown event WHISPER"),
        (round(r#"["START","balancer_1",1,null]"#), "round 7: START: the settings must be an object"),
        (round(r#"["ROUND",1002.0,8]"#), "round 7: ROUND before the previous round's GO"),
        (
            round(r#"["MEMBERSHIP","balancer_0",0,2,[[0,1,"k","s",0,9,"z"]]]"#),
            "must be a known endpoint state",
        ),
        (start() + "[\"GO\"]\n", "GO outside of a round"),
        (
            start() + "[\"ROUND\",1001.0,7]\n" + &request_event(1, "a"),
            "round 7: the input ends inside the round",
        ),
    ];
    for (input, expected) in cases {
        let output = run(&input);
        assert!(!output.status.success(), "{expected}: exit 0");
        let err = text(&output.stderr);
        assert_eq!(err.lines().count(), 1, "{err}");
        assert!(err.contains(expected), "{err} lacks {expected}");
        let out = text(&output.stdout);
        assert!(out.ends_with("[\"FINISHED\",0]\n") && !out.contains("DELIVER"), "{out}");
    }
}

/// The retry budget: an omitted number is 0, and without `resendSpanMs` there is no budget. A malformed value
/// must be an error, as the rule would otherwise be broken unnoticed.
#[test]
fn the_retry_budget_is_read_or_rejected() {
    let with =
        |rules: &str| start().replace(r#","limits":{"#, &format!(r#","rules":{{{rules}}},"limits":{{"#));
    let run_with_rules = |rules: &str| {
        let fails = r#"["CLOSED_ATTEMPT","balancer_0",8,"10.0.0.1:80",1.5,0,50,false,null]"#;
        run(&format!("{}[\"ROUND\",1001.0,1]\n{}\n{fails}\n[\"GO\"]\n", with(rules), request_event(8, "a")))
    };
    for (rules, sends) in [
        (r#""spareAttempts":0,"furtherRatio":0"#, 2),
        (r#""resendSpanMs":null"#, 2),
        (r#""resendSpanMs":500"#, 1),
        (r#""resendSpanMs":500,"spareAttempts":1"#, 2),
        (r#""resendSpanMs":500,"furtherRatio":1.0"#, 2),
        (r#""resendSpanMs":500,"furtherRatio":0.5"#, 1),
    ] {
        let output = run_with_rules(rules);
        assert!(output.status.success(), "{rules}: {}", text(&output.stderr));
        assert_eq!(text(&output.stdout).matches("DELIVER").count(), sends, "{rules}");
    }
    for key in ["resendSpanMs", "spareAttempts", "furtherRatio"] {
        for value in ["-1", "\"5\"", "true", "[1]"] {
            let output = run(&with(&format!(r#""{key}":{value}"#)));
            assert!(!output.status.success(), "{key}: {value}");
            let expected = format!("START: rules.{key} must be a number from 0 up; ");
            assert!(text(&output.stderr).contains(&expected), "{}", text(&output.stderr));
        }
    }
}

/// A malformed message of a peer, which may be of another version or faulty, is no input error and is not
/// answered. A sample is answered with the sum of all samples. A line with too few values is an input error.
#[test]
fn messages_of_peers_are_read_checked_and_answered() {
    let long = format!("1s 64{}", " 1f:a".repeat(60));
    let malformed = ["", "1s", "2s 64 1f:32", "1s 64 1f", "1s 64 xyz:1", "1s -5 1f:32", "1t zz", &long];
    for raw in malformed {
        let input =
            format!("{}[\"ROUND\",1001.0,1]\n[\"MAIL\",\"balancer_0\",1,\"{raw}\"]\n[\"GO\"]\n", start());
        let output = run(&input);
        assert!(output.status.success(), "{raw}: {}", text(&output.stderr));
        assert!(!text(&output.stdout).contains("MEMO_TO"), "{raw}");
    }
    let mail = r#"["MAIL","balancer_0",1,"1s 64 1f:32 9:14"]"#;
    let output = run(&format!("{}[\"ROUND\",1001.0,1]\n{mail}\n[\"GO\"]\n", start()));
    let out = text(&output.stdout);
    assert!(out.contains(r#"["MEMO_TO","balancer_0",1,"1t 46 1f:32 9:14"]"#), "{out}");
    let output = run(&format!("{}[\"ROUND\",1001.0,1]\n[\"MAIL\",\"balancer_0\",1]\n[\"GO\"]\n", start()));
    assert!(!output.status.success());
}
