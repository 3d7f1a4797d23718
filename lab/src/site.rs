//! A whole site in one process on unused loopback ports: the platform's log and host list, backend
//! servers and entry hosts.

use std::collections;
use std::io;
use std::net;
use std::process;
use std::sync::atomic;
use std::time;

use actix_web::web;

use zinniastack::configuration;
use zinniastack::edge::host;
use zinniastack::memory::limits;
use zinniastack::names;

use crate::host_list;
use crate::http;
use crate::log_state;
use crate::server_state;

/// The time that a stand-in for a server takes for a request, in milliseconds.
pub const SERVICE_TIME_MS: u64 = 2;
/// The lag of the stand-in for the host list, in milliseconds.
pub const LIST_LAG_MS: u64 = 500;

/// The first port that is allocated.
pub const FIRST_PORT: u16 = 20_000;

// Each process uses its own loopback address, derived from its process id, and allocates each port
// once. A port that was only checked to be free could be taken meanwhile by an outgoing connection
// or by a test that runs concurrently.
static NEXT_PORT: atomic::AtomicU16 = atomic::AtomicU16::new(FIRST_PORT);

/// Returns a loopback address that no other part of this or another process uses.
#[must_use]
pub fn free_address() -> net::SocketAddr {
    let [_, high, middle, low] = process::id().to_be_bytes();
    let ip = net::Ipv4Addr::new(127, high % 127 + 1, middle, low);
    let port = NEXT_PORT.fetch_add(1, atomic::Ordering::Relaxed);
    net::SocketAddr::from((ip, port))
}

/// Opens a listener on an address of [`free_address`].
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn free_listener() -> io::Result<net::TcpListener> {
    net::TcpListener::bind(free_address())
}

/// One entry host of a site.
pub struct SiteHost {
    /// The host's settings.
    pub settings: host::HostSettings,
    /// The running host.
    pub entry: host::EntryHost,
}

/// A site's stand-in for one server.
pub struct SiteServer {
    /// The server's configuration.
    pub spec: configuration::ServerSpec,
    /// The server's state and faults.
    pub service: web::Data<http::ServerService>,
    /// The handle that stops the HTTP server.
    pub handle: actix_web::dev::ServerHandle,
}

/// A running site.
pub struct LabSite {
    /// The configuration that the site starts from.
    pub configuration: configuration::Configuration,
    /// The log's state.
    pub log: http::Shared<log_state::LogState>,
    /// The host list's state.
    pub list: http::Shared<host_list::HostListState>,
    /// The entry hosts.
    pub hosts: Vec<SiteHost>,
    /// The servers.
    pub servers: collections::BTreeMap<names::ServerName, SiteServer>,
}

/// The setup of a site.
pub struct SitePlan {
    /// The configuration that the services and features are taken from.
    pub base: configuration::Configuration,
    /// The failure domains.
    pub domains: Vec<names::DomainName>,
    /// The number of entry hosts of each domain.
    pub hosts_each: usize,
    /// The number of servers of each service in each domain.
    pub servers_each: usize,
    /// The service whose servers are unchecked.
    pub unchecked: Option<names::ServiceName>,
}

impl LabSite {
    /// Starts a site.
    ///
    /// # Errors
    /// Fails if a listener cannot be opened, a host cannot start, or a name is invalid.
    pub async fn start(plan: &SitePlan) -> Result<Self, Box<dyn std::error::Error>> {
        let mut configuration = plan.base.clone();
        configuration.domain = plan
            .domains
            .iter()
            .map(|name| configuration::DomainSpec {
                name: name.clone(),
                gone: None,
            })
            .collect();
        configuration.host.clear();
        configuration.server.clear();
        for service in &mut configuration.service {
            service.homes.clone_from(&plan.domains);
        }
        let log = http::shared(log_state::LogState::new());
        let lag = time::Duration::from_millis(LIST_LAG_MS);
        let list = http::shared(host_list::HostListState::new(lag));
        let log_listener = free_listener()?;
        let log_address = log_listener.local_addr()?;
        http::serve_log(log_listener, log.clone())?;
        let list_listener = free_listener()?;
        let list_address = list_listener.local_addr()?;
        http::serve_hosts(list_listener, list.clone())?;
        let servers = start_servers(plan, &mut configuration)?;
        let hosts = start_hosts(plan, &mut configuration, log_address, list_address).await?;
        Ok(Self {
            configuration,
            log,
            list,
            hosts,
            servers,
        })
    }
}

fn start_servers(
    plan: &SitePlan,
    configuration: &mut configuration::Configuration,
) -> Result<collections::BTreeMap<names::ServerName, SiteServer>, Box<dyn std::error::Error>> {
    let mut servers = collections::BTreeMap::new();
    let services: Vec<_> = configuration
        .service
        .iter()
        .map(|s| s.name.clone())
        .collect();
    for domain in &plan.domains {
        for service in &services {
            for number in 1..=plan.servers_each {
                let listener = free_listener()?;
                let unchecked = plan.unchecked.as_ref() == Some(service);
                let spec = configuration::ServerSpec {
                    name: names::ServerName::new(&format!("{service}-{domain}-{number}"))?,
                    service: service.clone(),
                    domain: domain.clone(),
                    address: listener.local_addr()?,
                    fences: if unchecked {
                        configuration::FenceMode::Unchecked
                    } else {
                        configuration::FenceMode::Checked
                    },
                    slots: 6,
                    connections: 130,
                    withdrawn: None,
                };
                let server = start_server(listener, spec)?;
                configuration.server.push(server.spec.clone());
                servers.insert(server.spec.name.clone(), server);
            }
        }
    }
    Ok(servers)
}

/// Starts one stand-in for a server.
///
/// # Errors
/// Fails if the listener cannot be used.
pub fn start_server(
    listener: net::TcpListener,
    spec: configuration::ServerSpec,
) -> io::Result<SiteServer> {
    let setup = server_state::ServerSetup {
        fences: spec.fences,
        slots: spec.slots,
        incarnation: rand::random(),
    };
    let time = time::Duration::from_millis(SERVICE_TIME_MS);
    let service = web::Data::new(http::ServerService::new(setup, time));
    let handle = http::serve_server(listener, service.clone())?;
    Ok(SiteServer {
        spec,
        service,
        handle,
    })
}

async fn start_hosts(
    plan: &SitePlan,
    configuration: &mut configuration::Configuration,
    log: net::SocketAddr,
    list: net::SocketAddr,
) -> Result<Vec<SiteHost>, Box<dyn std::error::Error>> {
    let mut all_settings = Vec::new();
    for domain in &plan.domains {
        for number in 1..=plan.hosts_each {
            all_settings.push(host::HostSettings {
                name: names::HostName::new(&format!("entry-{domain}-{number}"))?,
                domain: domain.clone(),
                callers: free_address(),
                operators: free_address(),
                peers: free_address(),
                log,
                host_list: Some(list),
                bootstrap: Vec::new(),
                threads: 1,
                limits: limits::ProcessLimits::default(),
            });
        }
    }
    let addresses: Vec<_> = all_settings.iter().map(|settings| settings.peers).collect();
    let mut hosts = Vec::new();
    for mut settings in all_settings {
        settings.bootstrap.clone_from(&addresses);
        configuration.host.push(configuration::HostSpec {
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            peer: settings.peers,
            callers: settings.callers,
        });
        let entry = host::EntryHost::start(settings.clone()).await?;
        hosts.push(SiteHost { settings, entry });
    }
    Ok(hosts)
}
