use std::net::SocketAddr;
use std::process::{Child, Command};

use savorywalk_standin::{Deployment, token_for};

use super::command_test::CommandTest;
use super::http_call::{HttpAnswer, HttpCall, ListenerKind};
use super::log_lines::{LogLines, value};

/// Settings of a daemon to start; every listener takes a free port.
pub struct ServeTest {
    callers: String,
    operators: String,
    entry: String,
    limits: String,
    log: String,
    files: Vec<(String, String)>,
    log_variable: Option<String>,
}

/// A running `savorywalk serve`, killed when it is dropped.
pub struct ServeProcess {
    child: Child,
    log: LogLines,
    addresses: [SocketAddr; 3],
    _test: CommandTest,
}

impl ServeTest {
    /// An entry with the configuration of the roadside sample.
    pub fn new() -> Self {
        Self {
            callers: String::new(),
            operators: String::new(),
            entry: "drain_notice_ms = 0\n".into(),
            limits: String::new(),
            log: "level = info\n".into(),
            files: Vec::new(),
            log_variable: None,
        }
    }

    /// Adds keys to [callers].
    pub fn callers(mut self, keys: &str) -> Self {
        self.callers.push_str(keys);
        self
    }

    /// Adds keys to [operators].
    pub fn operators(mut self, keys: &str) -> Self {
        self.operators.push_str(keys);
        self
    }

    /// Replaces the keys of [entry].
    pub fn entry(mut self, keys: &str) -> Self {
        self.entry = keys.into();
        self
    }

    /// Adds keys to [limits].
    pub fn limits(mut self, keys: &str) -> Self {
        self.limits.push_str(keys);
        self
    }

    /// Replaces the keys of [log].
    pub fn log(mut self, keys: &str) -> Self {
        self.log = keys.into();
        self
    }

    /// Puts a file beside the settings.
    pub fn file(mut self, name: &str, text: &str) -> Self {
        self.files.push((name.into(), text.into()));
        self
    }

    /// Sets SAVORYWALK_LOG.
    pub fn log_variable(mut self, level: &str) -> Self {
        self.log_variable = Some(level.into());
        self
    }

    /// Starts the daemon and waits until it is ready.
    pub fn start(self) -> ServeProcess {
        let configuration = Deployment::Roadside.plan().configuration;
        let mut test = CommandTest::new("serve --settings entry.ini")
            .file("entry.ini", &self.settings())
            .file(
                "configuration.json",
                &serde_json::to_string(&configuration).unwrap(),
            );
        for (name, text) in &self.files {
            test = test.file(name, text);
        }
        let mut command = test.command();
        if let Some(level) = &self.log_variable {
            command.env("SAVORYWALK_LOG", level);
        }
        let mut child = command.spawn().unwrap();
        let log = LogLines::read(child.stdout.take().unwrap());
        let ready = log.wait_for("entry_ready");
        let address = |key| value(&ready, key).parse().unwrap();
        ServeProcess {
            child,
            log,
            addresses: [
                address("callers"),
                address("operators"),
                address("endpoints"),
            ],
            _test: test,
        }
    }

    fn settings(&self) -> String {
        let Self {
            callers,
            operators,
            entry,
            limits,
            log,
            ..
        } = self;
        format!(
            "[node]\nname = entry-1\ndata_center = bole\n\
             [callers]\naddress = 127.0.0.1:0\n{callers}\n\
             [operators]\naddress = 127.0.0.1:0\n{operators}\n\
             [endpoints]\naddress = 127.0.0.1:0\n\
             [entry]\nwarm_up_ms = 0\nconfiguration = configuration.json\n{entry}\n\
             [limits]\n{limits}\n\
             [log]\n{log}\n"
        )
    }
}

impl ServeProcess {
    pub fn address(&self, listener: ListenerKind) -> SocketAddr {
        self.addresses[listener as usize]
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn log(&self) -> &LogLines {
        &self.log
    }

    pub fn call(&self, listener: ListenerKind, method: &str, path: &str) -> HttpCall {
        HttpCall::new(self.address(listener), method, path)
    }

    /// A caller's request with a good token.
    pub fn post(&self, pipeline: &str) -> HttpCall {
        let path = format!("/v1/pipelines/{pipeline}");
        self.call(ListenerKind::Callers, "POST", &path)
            .token(&token_for("addis-dispatch"))
    }

    /// The daemon is up and serves on every listener.
    pub async fn assert_up(&self) {
        for listener in ListenerKind::ALL {
            let answer: HttpAnswer = self.call(listener, "GET", "/healthz").send().await;
            assert_eq!(answer.status, 200, "{listener:?}");
        }
    }

    /// Sends SIGTERM to this process alone, by its id.
    pub fn terminate(&self) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &pid]).status().unwrap();
        assert!(status.success());
    }

    /// Waits for its end and gives its exit code.
    pub async fn exit_code(mut self) -> i32 {
        tokio::task::spawn_blocking(move || self.child.wait().unwrap().code().unwrap())
            .await
            .unwrap()
    }
}

impl Drop for ServeProcess {
    fn drop(&mut self) {
        let _already_gone = self.child.kill();
        let _status = self.child.wait();
    }
}
