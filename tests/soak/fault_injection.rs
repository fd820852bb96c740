//! Troubles of a run, several at a time: each begins at a moment of its own and lasts for a while.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::common::faults::{
    EADDRNOTAVAIL, ECONNABORTED, EINTR, EMFILE, ENETUNREACH, ENOBUFS, clock_off, failing,
};
use super::endpoint::EndpointStub;
use super::replica::ReplicaProcess;
use super::run_state::RunState;

/// Before the first trouble: all routers know all servers by then.
const QUIET: Duration = Duration::from_millis(1_500);

/// Starts troubles until the load ends, a few at once.
pub async fn run(
    world: RunState, routers: Vec<Rc<ReplicaProcess>>, servers: Vec<Rc<EndpointStub>>, until: Instant,
) {
    sleep(QUIET).await;
    while Instant::now() + Duration::from_secs(1) < until {
        let (router, server) = (pick(&world, &routers), pick(&world, &servers));
        spawn_local(one(world.clone(), router, server, routers.clone()));
        // The more routers, the more often one of them is in trouble.
        let every = 2_400 / (routers.len() as u64).clamp(2, 12);
        sleep(Duration::from_millis(world.draw(every / 2..every * 3 / 2))).await;
    }
}

fn pick<T>(world: &RunState, all: &[Rc<T>]) -> Rc<T> {
    all[world.draw(0..all.len() as u64) as usize].clone()
}

fn milliseconds(world: &RunState, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(world.draw(range))
}

async fn one(
    world: RunState, router: Rc<ReplicaProcess>, server: Rc<EndpointStub>, routers: Vec<Rc<ReplicaProcess>>,
) {
    match world.draw(0..13) {
        0..4 => of_process(&world, &router).await,
        4 => {
            world.trouble("calls fail");
            let faults = [
                failing("connect", [ENETUNREACH, EADDRNOTAVAIL, ENOBUFS][world.draw(0..3) as usize], 50),
                failing("socket", EMFILE, 20),
                failing("accept", ECONNABORTED, 30),
                failing("epoll", EINTR, 30),
                failing("short", 0, 50),
            ];
            router.faults(&faults, milliseconds(&world, 300..1_500)).await;
        }
        5 => {
            world.trouble("the wall clock is off");
            let off = if world.chance(500) { 3_600 } else { -3_600 };
            router.faults(&[clock_off(off)], milliseconds(&world, 1_000..3_000)).await;
        }
        6 => {
            world.trouble("discovery is silent");
            let time = milliseconds(&world, 1_000..4_000);
            routers.iter().for_each(|router| router.with_agent(|agent| agent.silence(time)));
        }
        7 => {
            world.trouble("watches are reset");
            routers.iter().for_each(|router| router.with_agent(|agent| agent.reset()));
        }
        8 | 9 => {
            world.trouble("a server hangs");
            server.hang(milliseconds(&world, 500..2_500));
        }
        10 | 11 => {
            world.trouble("a server drains and is replaced");
            let (drains_for, after) = (milliseconds(&world, 500..1_500), milliseconds(&world, 200..1_000));
            server.drain_and_return(drains_for, after).await;
        }
        _ => {
            world.trouble("a server dies");
            server.die_and_return(milliseconds(&world, 300..2_000)).await;
        }
    }
}

/// What happens to a router's process; one thing at a time to each.
async fn of_process(world: &RunState, router: &Rc<ReplicaProcess>) {
    if router.busy.replace(true) {
        return;
    }
    match world.draw(0..5) {
        0 | 1 => {
            world.trouble("a router is restarted");
            router.restart().await;
        }
        2 => {
            world.trouble("a router is killed");
            router.kill(milliseconds(world, 100..800)).await;
        }
        3 => {
            world.trouble("a router is held up");
            router.hold_up(milliseconds(world, 50..150)).await;
        }
        _ => {
            world.trouble("discovery moves, twice in a row");
            router.reconfigure().await;
            router.reconfigure().await;
        }
    }
    router.busy.set(false);
}
