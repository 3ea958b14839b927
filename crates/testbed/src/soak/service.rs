//! Sends the planned series of signals and opens the connections of the planned crowd.

use std::net::TcpStream;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;

use super::Seconds;
use super::director::Director;
use super::run::Soak;
use super::service_plan::{Crowd, SignalSeries, SignalStep, plan_service};
use crate::threads::lock;

/// How often the thread of a crowd checks the time.
const CROWD_POLL: Duration = Duration::from_millis(50);

impl Soak<'_> {
    /// Carries out the plan at its times until `end`, each series and the crowd on its own thread. A series that stops
    /// a director holds the director's lock in `restarts`, so that it does not overlap with other restarts of the
    /// director. Returns when all are over.
    pub(super) fn run_service(&self, end: Seconds, restarts: &[Mutex<()>]) {
        let plan = plan_service(self.options);
        thread::scope(|scope| {
            if let Some(crowd) = plan.crowd {
                scope.spawn(move || self.run_crowd(&crowd, end));
            }
            for series in plan.signals {
                self.sleep_until(series.at);
                if self.checker.now() > end {
                    return;
                }
                scope.spawn(move || {
                    let director = &self.directors[series.director];
                    let _guard = series.stops().then(|| lock(&restarts[series.director]));
                    let fault = self.faults.begin(self.checker.now(), format!("{series:?}"));
                    self.send_series(director, &series);
                    self.faults.end(self.checker.now(), fault);
                });
            }
        });
    }

    fn send_series(&self, director: &Director, series: &SignalSeries) {
        for step in &series.steps {
            match *step {
                SignalStep::Reload => director.signal(Signal::HUP),
                SignalStep::Stop => director.terminate(),
                SignalStep::Hold(seconds) => director.pause(seconds),
                SignalStep::Wait(seconds) => thread::sleep(Duration::from_secs_f64(seconds)),
            }
        }
        if series.stops() {
            director.wait_for_exit();
            self.start_or_report(director);
        }
    }

    /// Opens idle connections and keeps them until the crowd leaves. A connection that the director ends is not opened
    /// again.
    fn run_crowd(&self, crowd: &Crowd, end: Seconds) {
        self.sleep_until(crowd.at);
        let fault = self.faults.begin(self.checker.now(), format!("{crowd:?}"));
        let address = self.directors[crowd.director].address;
        let connections: Vec<TcpStream> =
            (0..crowd.connections).filter_map(|_| TcpStream::connect(address).ok()).collect();
        let until = (crowd.at + crowd.seconds).min(end);
        while self.checker.now() < until {
            thread::sleep(CROWD_POLL);
        }
        drop(connections);
        self.faults.end(self.checker.now(), fault);
    }

    pub(super) fn sleep_until(&self, at: Seconds) {
        let wait = at - self.checker.now();
        if wait > 0.0 {
            thread::sleep(Duration::from_secs_f64(wait));
        }
    }
}
