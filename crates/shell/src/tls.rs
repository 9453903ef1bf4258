//! TLS configuration for listeners and for connections between processes.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use lentil_settings::{Identity, Security};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use thiserror::Error;
use tonic::transport::{Certificate, ClientTlsConfig, ServerTlsConfig};

/// Subject alternative name in the certificate of every process.
const PEER_NAME: &str = "lentiltray";

/// Certificates or private keys can't be used.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A file can't be read.
    #[error("reading {}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// A file doesn't hold PEM data of the expected kind.
    #[error("reading {}: {source}", path.display())]
    Pem {
        /// Path of the file.
        path: PathBuf,
        /// The PEM parser's error.
        source: rustls::pki_types::pem::Error,
    },
    /// rustls rejects the certificate and the key.
    #[error("certificate: {0}")]
    Identity(#[from] rustls::Error),
}

/// TLS configuration for HTTP listeners; `None` for plaintext.
///
/// # Errors
/// A file can't be read or parsed, or the certificate and key are rejected.
pub fn listener_tls(security: &Security) -> Result<Option<rustls::ServerConfig>, TlsError> {
    let Some(identity) = &security.identity else {
        return Ok(None);
    };
    let chain = certificates(&identity.certificate_file)?;
    let key = private_key(&identity.private_key_file)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(chain, key)?;
    Ok(Some(config))
}

/// TLS configuration for the gRPC listener for peers; `None` for plaintext.
///
/// With a certificate authority configured, peers must present a certificate
/// that it issued.
///
/// # Errors
/// A file can't be read.
pub fn peer_server_tls(security: &Security) -> Result<Option<ServerTlsConfig>, TlsError> {
    let Some(identity) = &security.identity else {
        return Ok(None);
    };
    let config = ServerTlsConfig::new().identity(peer_identity(identity)?);
    Ok(Some(match &security.authority_file {
        Some(file) => config.client_ca_root(Certificate::from_pem(read(file)?)),
        None => config,
    }))
}

/// TLS configuration for connections to peers; `None` for plaintext.
///
/// # Errors
/// A file can't be read.
pub fn peer_client_tls(security: &Security) -> Result<Option<ClientTlsConfig>, TlsError> {
    let (Some(identity), Some(authority)) = (&security.identity, &security.authority_file) else {
        return Ok(None);
    };
    let config = ClientTlsConfig::new()
        .domain_name(PEER_NAME)
        .identity(peer_identity(identity)?)
        .ca_certificate(Certificate::from_pem(read(authority)?));
    Ok(Some(config))
}

fn peer_identity(identity: &Identity) -> Result<tonic::transport::Identity, TlsError> {
    let certificate = read(&identity.certificate_file)?;
    let key = read(&identity.private_key_file)?;
    Ok(tonic::transport::Identity::from_pem(certificate, key))
}

fn read(path: &Path) -> Result<Vec<u8>, TlsError> {
    std::fs::read(path).map_err(|source| TlsError::Read {
        path: path.to_owned(),
        source,
    })
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let text = read(path)?;
    CertificateDer::pem_slice_iter(&text)
        .collect::<Result<_, _>>()
        .map_err(|source| TlsError::Pem {
            path: path.to_owned(),
            source,
        })
}

fn private_key(path: &Path) -> Result<PrivateKeyDer<'static>, TlsError> {
    PrivateKeyDer::from_pem_slice(&read(path)?).map_err(|source| TlsError::Pem {
        path: path.to_owned(),
        source,
    })
}
